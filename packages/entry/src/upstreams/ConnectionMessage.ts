import type * as core from '@tamarackferry/core';

/** Message to the `UpstreamConnections`. */
export type ConnectionMessage = Extract<core.vms.VmOutput, { type: 'send-attempt' | 'cancel-attempt' | 'stream-attempt' | 'send-probe' }>;
