import type * as core from '@tamarackferry/core';
import type * as gateway from '@tamarackferry/gateway';
import * as trpc from '@trpc/server';
import * as zod from 'zod';

const TRPC = trpc.initTRPC.create();

/**
 * Builds the tRPC router that serves catalog updates to other VMs.
 * @param catalog - Task that owns the catalog.
 */
export function buildCatalogUpdateRouter(catalog: core.tasks.Mailbox<gateway.contracts.CatalogMessage>) {
  return TRPC.router({
    // `news` is its wire name and must not change, since VMs of different versions call each other.
    news: TRPC.procedure
      .input(zod.number().int())
      .query(({ input }) => new Promise<gateway.contracts.CatalogUpdate>((resolve) => {
        catalog.post({ type: 'update-requested', afterRevision: input, replyTo: { post: resolve } });
      })),
  });
}

/** Type of the router. Clients derive the types of its procedures from it. */
export type CatalogUpdateRouter = ReturnType<typeof buildCatalogUpdateRouter>;
