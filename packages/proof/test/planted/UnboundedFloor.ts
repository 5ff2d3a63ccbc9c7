import * as core from '@tamarackferry/core';

/** Faulty floor that allows every ejection and takes none back. */
export class UnboundedFloor extends core.upstreams.CapacityFloor {
  override canEject(): boolean {
    return true;
  }

  override listReinstatements(): readonly core.upstreams.Instance[] {
    return [];
  }
}
