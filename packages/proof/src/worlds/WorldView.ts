import type * as upstreams from '../upstreams/index.js';
import type * as vms from '../vms/index.js';

/** Truth about a world, for its checks and meters. */
export interface WorldView {
  /** Gets the virtual time in milliseconds. */
  getNowMs(): number;
  /** Lists all machines. */
  listMachines(): readonly vms.FakeMachine[];
  /**
   * Lists the instances of a service.
   * @param service - Name of the service.
   */
  listInstances(service: string): readonly upstreams.FakeInstance[];
  /** Groups the running machines so that the members of a group hear each other, some by way of others. */
  listGroups(): readonly (readonly vms.FakeMachine[])[];
}
