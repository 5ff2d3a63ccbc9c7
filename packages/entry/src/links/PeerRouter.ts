import * as trpc from '@trpc/server';

const T = trpc.initTRPC.create();

/**
 * Builds the router of the peer endpoint.
 * @param onEnvelopes - Receives the values of one delivery, unchecked.
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

/** Type of the router, by which clients know its procedures. */
export type PeerRouter = ReturnType<typeof buildPeerRouter>;
