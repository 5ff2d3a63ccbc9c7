import * as trpc from '@trpc/server';

const T = trpc.initTRPC.create();

/**
 * Builds the tRPC router of the endpoint that receives envelopes of peers.
 * @param onEnvelopes - Called with the values of each delivery, which are not validated yet.
 */
export function buildPeerRouter(onEnvelopes: (values: readonly unknown[]) => void) {
  return T.router({
    deliver: T.procedure
      .input((value: unknown) => value)
      .mutation(({ input }) => {
        onEnvelopes(Array.isArray(input) ? input : [input]);
      }),
  });
}

/** Type of the router, from which clients derive the types of its procedures. */
export type PeerRouter = ReturnType<typeof buildPeerRouter>;
