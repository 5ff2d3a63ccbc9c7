import * as core from '@tamarackferry/core';

/** Drain board that records which boards have learned a notice. */
export class CountingDrainNoticeStore extends core.vms.DrainNoticeStore {
  constructor(protected readonly informed: Set<core.vms.DrainNoticeStore>) {
    super();
  }

  override addNotices(notices: readonly core.upstreams.DrainNotice[], nowMs: number): core.upstreams.DrainNotice[] {
    if (notices.length > 0) this.informed.add(this);
    return super.addNotices(notices, nowMs);
  }
}
