import type * as contracts from '../contracts/index.js';
import type * as links from '../links/index.js';

/** Name of a gray mode. */
export type GrayModeName = 'failing' | 'slow' | 'truncated' | 'crossed' | 'late' | 'silent';

/** What a trace, a fuzzer or a measurement does to a world. */
export type WorldAction =
  | {
    readonly type: 'request';
    readonly name: string;
    readonly member: string;
    readonly service: string;
    readonly kind: string;
    /** VM that issues the operation id. */
    readonly home: string;
    /** VM that the request is sent to. */
    readonly via: string;
    /** Earlier request whose operation id is used again with another body. */
    readonly sameIdAs: string | undefined;
  }
  | { readonly type: 'repeat'; readonly name: string; readonly via: string }
  | { readonly type: 'cancel'; readonly name: string }
  /** Scales all loads. */
  | { readonly type: 'load'; readonly factor: number }
  /** Targets are VMs or instances. */
  | { readonly type: 'kill'; readonly target: string }
  | { readonly type: 'restart'; readonly target: string; readonly coldForMs: number }
  | { readonly type: 'stop' | 'freeze' | 'thaw'; readonly target: string }
  | { readonly type: 'link'; readonly condition: links.LinkCondition }
  | { readonly type: 'heal'; readonly from: string; readonly to: string }
  /** A stale platform may serve an older version. */
  | { readonly type: 'platform'; readonly state: 'up' | 'down' | 'stale'; readonly version: number | undefined }
  | { readonly type: 'list-lag'; readonly lagMs: number }
  | {
    readonly type: 'gray';
    readonly instance: string;
    readonly mode: GrayModeName | 'none';
    readonly share: number;
    readonly factor: number;
    /** Period of flapping in milliseconds; 0 for a constant mode. */
    readonly periodMs: number;
  }
  | { readonly type: 'drain'; readonly instance: string }
  | { readonly type: 'cold'; readonly instance: string; readonly forMs: number }
  /** Misleading load and health reports; an undefined load is reported truthfully. */
  | { readonly type: 'mislead'; readonly instance: string; readonly load: number | undefined; readonly health: 'truthful' | 'unhealthy' }
  | { readonly type: 'document'; readonly changes: readonly contracts.ServiceChange[] }
  /** Two operators publish the same version with different contents, one just after the other. */
  | { readonly type: 'operators'; readonly changes: readonly contracts.ServiceChange[] };
