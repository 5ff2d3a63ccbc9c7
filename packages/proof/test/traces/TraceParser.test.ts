import * as proof from '@tamarackferry/proof';
import * as vitest from 'vitest';

const PARSER = new proof.traces.TraceParser(new proof.traces.DirectoryPresetSource());

vitest.describe('TraceParser', () => {
  vitest.it('reads units, presets and actions in the order of their times (guards against faults at the wrong moment)', () => {
    const trace = PARSER.parse([
      'deployment hallvik # preset',
      'seed 5',
      'end 2m',
      'at 90s thaw vm-01',
      'at 1500ms cut sv-a sv-b',
      'at 20s request r1 kassa pay via=vm-02 home=vm-01',
      'expect runs r1 at-most=1',
    ].join('\n'))._unsafeUnwrap();
    vitest.expect([trace.plan.vms, trace.seed, trace.endMs]).toEqual([32, 5, 120_000]);
    vitest.expect(trace.actions.map((timed) => [timed.atMs, timed.action.type])).toEqual([[1_500, 'link'], [20_000, 'request'], [90_000, 'thaw']]);
    vitest.expect(trace.outcomes[0]?.expectation).toEqual({ type: 'runs', name: 'r1', atMost: 1 });
  });

  vitest.it.each([
    ['deployment hallvik\nat 5s kill vm-99', 2, 'there is no VM or instance vm-99'],
    ['deployment hallvik\nat soon kill vm-01', 2, 'time "soon" is not a duration such as 500ms, 10s, 5m or 2h'],
    ['deployment hallvik\nat 5s gray kassa-01 purple', 2, 'gray mode "purple" is none of failing, slow, truncated, crossed, late, silent, none'],
    ['deployment hallvik\nat 5s kill vm-01 twice', 2, '"twice" is not expected here'],
    ['deployment hallvik\nat 5s cut sv-a mars', 2, '"mars" is no VM, instance, place, or one of vms, instances, callers, platform, all'],
    ['deployment hallvik\nexpect runs r1 at-most=1', 2, 'request r1 is not stated above'],
    ['deployment atlantis', 1, 'there is no deployment preset atlantis'],
    ['deployment hallvik\n\nfrobnicate', 3, '"frobnicate" is no directive'],
    ['vms 3', 0, 'no place is declared'],
  ])('refuses %j with line and reason (guards against traces that silently test nothing)', (text, line, reason) => {
    vitest.expect(PARSER.parse(text)._unsafeUnwrapErr()).toEqual({
      type: 'trace-failure', preset: '', line, reason,
    });
  });
});
