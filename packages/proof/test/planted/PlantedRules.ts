import * as core from '@tamarackferry/core';

/** Replaces single rules of a VM by faulty ones. */
export class PlantedRules {
  /**
   * Creates rules for callers with some methods replaced.
   * @param replaced - Methods that create faulty rules.
   */
  static createCallers(replaced: Partial<core.callers.CallerRules>): Partial<core.vms.VmRules> {
    return { callers: Object.assign(new core.callers.CallerRules(), replaced) };
  }

  /**
   * Creates rules for contracts with some methods replaced.
   * @param replaced - Methods that create faulty rules.
   */
  static createContracts(replaced: Partial<core.contracts.ContractRules>): Partial<core.vms.VmRules> {
    return { contracts: Object.assign(new core.contracts.ContractRules(), replaced) };
  }

  /**
   * Creates rules for upstreams with some methods replaced.
   * @param replaced - Methods that create faulty rules.
   */
  static createUpstreams(replaced: Partial<core.upstreams.UpstreamRules>): Partial<core.vms.VmRules> {
    return { upstreams: Object.assign(new core.upstreams.UpstreamRules(), replaced) };
  }
}
