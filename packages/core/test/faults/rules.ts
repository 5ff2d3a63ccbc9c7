import * as core from '@tamarackferry/core';

/** Makes rules for callers with single ones replaced. */
export function buildCallerRules(replaced: Partial<core.callers.CallerRules>): Partial<core.vms.VmRules> {
  return { callers: Object.assign(new core.callers.CallerRules(), replaced) };
}

/** Makes rules for contracts with single ones replaced. */
export function buildContractRules(replaced: Partial<core.contracts.ContractRules>): Partial<core.vms.VmRules> {
  return { contracts: Object.assign(new core.contracts.ContractRules(), replaced) };
}
