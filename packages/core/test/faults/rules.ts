import * as core from '@tamarackferry/core';

/** Returns VM rules (factories of policies) in which the given factory methods for callers are overridden. */
export function buildCallerRules(overrides: Partial<core.callers.CallerRules>): Partial<core.vms.VmRules> {
  return { callers: Object.assign(new core.callers.CallerRules(), overrides) };
}

/** Returns VM rules (factories of policies) in which the given factory methods for contracts are overridden. */
export function buildContractRules(overrides: Partial<core.contracts.ContractRules>): Partial<core.vms.VmRules> {
  return { contracts: Object.assign(new core.contracts.ContractRules(), overrides) };
}
