import * as fastCheck from 'fast-check';

import type * as contracts from '../contracts/index.js';
import * as traces from '../traces/index.js';
import * as actionCommand from './ActionCommand.js';

const GRAY_MODES = ['failing', 'slow', 'truncated', 'crossed', 'late', 'silent'] as const;

/** Arbitrary actions on a deployment. */
export class ActionArbitrary {
  /**
   * Creates the arbitraries of all commands.
   * @param plan - Deployment that the actions are for.
   */
  static createCommands(plan: contracts.DeploymentPlan): readonly fastCheck.Arbitrary<actionCommand.ActionCommand>[] {
    return ActionArbitrary.createTemplates(plan).map((templates) => fastCheck.record({
      // Short gaps let actions meet requests in flight; long gaps let bounds pass.
      gapMs: fastCheck.oneof(fastCheck.integer({ min: 0, max: 100 }), fastCheck.integer({ min: 100, max: 4_000 })),
      template: templates,
      pick: fastCheck.nat(63),
    }).map((fields) => new actionCommand.ActionCommand({ ...fields, vms: plan.vms })));
  }

  private static createTemplates(plan: contracts.DeploymentPlan): readonly fastCheck.Arbitrary<string>[] {
    const names = new traces.PlanNames(plan);
    const vm = fastCheck.constantFrom(...names.vms);
    const instance = fastCheck.constantFrom(...names.instances);
    const end = fastCheck.constantFrom(...names.vms, ...names.instances, ...plan.places.map((place) => place.name), 'callers', 'platform');
    const share = fastCheck.constantFrom(0.2, 0.5, 1);
    const operations = plan.services.flatMap(({ contract }) => contract.kinds
      .filter((kind) => kind.repeatability === 'non-idempotent').map((kind) => `${contract.name} ${kind.name}`));
    const operation = fastCheck.constantFrom(...operations);
    const floors = plan.services.flatMap(({ contract, instances }) => (
      [`${contract.name} floor=${instances}`, `${contract.name} floor=${contract.floorInstances}`]
    ));
    const floor = fastCheck.constantFrom(...floors);
    const request = fastCheck.tuple(operation, vm, vm).map(([what, home, via]) => `request {new} ${what} home=${home} via=${via}`);
    const repeat = vm.map((via) => `repeat {old} via=${via}`);
    return [
      request,
      repeat,
      repeat,
      fastCheck.constant('cancel {old}'),
      fastCheck.oneof(vm, instance).map((target) => `kill ${target}`),
      fastCheck.oneof(vm, vm, instance).map((target) => `restart ${target}`),
      vm.map((target) => `stop ${target}`),
      vm.map((target) => `freeze ${target}`),
      vm.map((target) => `thaw ${target}`),
      fastCheck.tuple(end, end).map(([from, to]) => `cut ${from} ${to}`),
      fastCheck.constant('heal all'),
      fastCheck.tuple(share, share, share).map(([loss, twice, late]) => `disturb vms vms loss=${loss / 2} duplicate=${twice} reorder=${late}`),
      fastCheck.constantFrom('platform down', 'platform stale', 'platform stale version=1', 'platform up', 'list-lag 1h', 'list-lag 1s'),
      fastCheck.tuple(instance, fastCheck.constantFrom(...GRAY_MODES), share, fastCheck.constantFrom('', ' period=4s'))
        .map(([name, mode, part, period]) => `gray ${name} ${mode} share=${part}${period}`),
      instance.map((name) => `gray ${name} none`),
      instance.map((name) => `drain ${name}`),
      instance.map((name) => `cold ${name} for=8s`),
      fastCheck.tuple(instance, fastCheck.constantFrom('load=0', 'load=99', 'health=unhealthy')).map(([name, what]) => `mislead ${name} ${what}`),
      floor.map((change) => `document ${change}`),
      floor.map((change) => `operators ${change}`),
      fastCheck.constantFrom('load factor=3', 'load factor=1'),
    ];
  }
}
