import type * as contracts from '../contracts/index.js';
import type * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as drainNotice from './DrainNotice.js';
import type * as ejectionNotice from './EjectionNotice.js';
import type * as upstreamMessage from './UpstreamMessage.js';

/** Message to the `UpstreamDirectoryTask`, which forwards it to the `UpstreamTask` of each service that it is about. */
export type UpstreamDirectoryMessage =
  | contracts.DocumentAccepted
  | { readonly type: 'to-service'; readonly service: string; readonly message: upstreamMessage.UpstreamMessage }
  /** New list of the instances of all services from the platform. */
  | { readonly type: 'list'; readonly entries: readonly vms.UpstreamListEntry[] }
  | { readonly type: 'drain'; readonly notices: readonly drainNotice.DrainNotice[] }
  /** Report of a peer about all its ejections; services without ejections may be missing. */
  | { readonly type: 'peer-ejections'; readonly from: string; readonly notices: readonly ejectionNotice.EjectionNotice[] }
  /** `late`: timers of this VM fire late. */
  | { readonly type: 'local-health'; readonly health: 'good' | 'late' }
  | { readonly type: 'status-requested'; readonly replyTo: tasks.Mailbox<UpstreamDirectoryStatus> };

/** State of all services for the status page. */
export interface UpstreamDirectoryStatus {
  readonly type: 'upstream-directory-status';
  readonly upstreams: readonly upstreamMessage.UpstreamStatus[];
}
