import * as core from '@tamarackferry/core';

/** Builds the caller rules with individual factory methods replaced. */
export function buildCallerRules(overrides: Partial<core.callers.CallerRules>): Partial<core.vms.VmRules> {
  return { callers: Object.assign(new core.callers.CallerRules(), overrides) };
}

/** Builds the contract rules with individual factory methods replaced. */
export function buildContractRules(overrides: Partial<core.contracts.ContractRules>): Partial<core.vms.VmRules> {
  return { contracts: Object.assign(new core.contracts.ContractRules(), overrides) };
}
