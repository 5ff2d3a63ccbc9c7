import * as core from '@tamarackferry/core';

/** Faulty record that knows no leaving instance. */
export class DeafDrainRecord extends core.upstreams.DrainRecord {
  override has(): boolean {
    return false;
  }

  override list(): readonly core.upstreams.InstanceIncarnation[] {
    return [];
  }
}
