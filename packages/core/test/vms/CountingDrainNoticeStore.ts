import * as core from '@tamarackferry/core';

/** Drain notice store that records which stores have received a notice. */
export class CountingDrainNoticeStore extends core.vms.DrainNoticeStore {
  constructor(protected readonly informed: Set<core.vms.DrainNoticeStore>) {
    super();
  }

  override addNotices(notices: readonly core.upstreams.DrainNotice[], nowMs: number): core.upstreams.DrainNotice[] {
    if (notices.length > 0) this.informed.add(this);
    return super.addNotices(notices, nowMs);
  }
}
