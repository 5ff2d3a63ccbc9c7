import type * as core from '@tamarackferry/core';

import * as countingDrainBoard from './CountingDrainBoard.js';

/** Faulty drain board: it learns notices and passes none on. */
export class SilentDrainBoard extends countingDrainBoard.CountingDrainBoard {
  override addNotices(notices: readonly core.upstreams.DrainNotice[], nowMs: number): core.upstreams.DrainNotice[] {
    return super.addNotices(notices, nowMs).slice(0, 0);
  }

  override selectNotices(): core.upstreams.DrainNotice[] {
    return [];
  }
}
