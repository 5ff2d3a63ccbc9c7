import type * as gateway from '@tamarackferry/gateway';

/** Requests of one route. */
export interface LoadRoute {
  readonly name: string;
  readonly service: string;
  readonly kind: gateway.contracts.RequestKind;
  readonly perSecond: number;
  /** Mean time that an instance works on a request, in milliseconds. */
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly rank: number;
}

/** Load and faults that are replayed. */
export interface LoadPattern {
  readonly lengthMs: number;
  readonly vmsPerPlace: number;
  readonly services: readonly { readonly name: string; readonly instances: number; readonly slots: number }[];
  readonly routes: readonly LoadRoute[];
  /** Gray spells: in each span an instance is gray with a probability, and then is silent on a share of its requests. */
  readonly gray: { readonly share: number; readonly spanMs: number; readonly unansweredShare: number };
  readonly burst?: { readonly fromMs: number; readonly toMs: number; readonly factor: number };
  /** Instances that work several times as long for some time. */
  readonly slow?: { readonly share: number; readonly factor: number; readonly fromMs: number; readonly toMs: number };
  /** Instances of a service that turn away a share of their requests for some time, though they have room. */
  readonly shed?: { readonly service: string; readonly share: number; readonly fromMs: number; readonly toMs: number };
}
