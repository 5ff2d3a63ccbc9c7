import type * as core from '@tamarackferry/core';

/** Message to the `CallerListener`. */
export type ListenerMessage =
  | Extract<core.vms.VmOutput, { type: 'caller-answer' | 'address-answer' | 'status-answer' | 'evidence-answer' }>;
