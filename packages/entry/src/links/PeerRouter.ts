import * as trpc from '@trpc/server';

const trpcBuilder = trpc.initTRPC.create();

/**
 * Builds the tRPC router of the endpoint that receives envelopes of peers.
 * @param onDelivery - Called with the encoded envelopes of each delivery, which are not validated yet.
 */
export function buildPeerRouter(onDelivery: (encodedEnvelopes: readonly unknown[]) => void) {
  return trpcBuilder.router({
    deliver: trpcBuilder.procedure
      .input((value: unknown) => value)
      .mutation(({ input }) => {
        onDelivery(Array.isArray(input) ? input : [input]);
      }),
  });
}

/** Type of the router, from which clients derive the types of its procedures. */
export type PeerRouter = ReturnType<typeof buildPeerRouter>;
