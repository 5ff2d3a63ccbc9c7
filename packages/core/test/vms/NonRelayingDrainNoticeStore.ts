import type * as core from '@tamarackferry/core';

import * as countingDrainNoticeStore from './CountingDrainNoticeStore.js';

/** Defective variant for tests: stores notices, but reports none as new and selects none for an exchange. The test must fail with it. */
export class NonRelayingDrainNoticeStore extends countingDrainNoticeStore.CountingDrainNoticeStore {
  override addNotices(notices: readonly core.upstreams.DrainNotice[], nowMs: number): core.upstreams.DrainNotice[] {
    return super.addNotices(notices, nowMs).slice(0, 0);
  }

  override selectNotices(): core.upstreams.DrainNotice[] {
    return [];
  }
}
