import * as clock from '../harness/clock.js';
import * as deployment from '../harness/Deployment.js';
import * as directoryClient from '../harness/DirectoryClient.js';
import * as runner from '../harness/runCase.js';

const ZONE = 'osr-a';
const STABLE_WINDOW_MS = 3_000;
const DRAIN_MS = 2_000;
// The leaving instance serves for the drain time and some seconds longer, as the pages allow.
const LINGER_MS = 5_000;
const SETTLE_MS = 6_000;
const REQUEST_INTERVAL_MS = 25;

const layout = {
  zones: [ZONE],
  machines: [1, 2].map((number) => ({ name: `edge-${ZONE}-${number}`, zone: ZONE, isSeed: true })),
};

await runner.runCase(import.meta.dirname, layout, async (tested, trouble) => {
  const instances = await Promise.all([1, 2, 3].map((number) => tested.startInstance({
    id: `i-${number}`, service: 'zaloga', zone: ZONE,
  })));
  tested.publishConfiguration(7, {
    'r-lodge': {
      host: deployment.HOST_NAME,
      prefix: '/lodge/',
      kind: 'unsafe',
      timeout: '2000ms',
      target_latency: '1000ms',
      priority: 1,
      service: 'zaloga',
      max_attempts: 2,
    },
  }, ['zaloga']);
  if (!await tested.startMachines()) return { result: 'not-run', text: 'not all machines became ready' };
  await clock.waitMs(SETTLE_MS);
  const clients = new directoryClient.DirectoryClient(tested, ZONE, '/lodge/');
  await clients.start(REQUEST_INTERVAL_MS);
  // A new instance registers.
  await tested.startInstance({ id: 'i-4', service: 'zaloga', zone: ZONE });
  await clock.waitMs(500);
  const disturbedAtMs = clock.getNowMs();
  if (trouble === 'injected') tested.store.cutOpenConnections();
  await clock.waitMs(100);
  const leaving = instances[0];
  const acknowledgedAtMs = tested.store.removeItem(`servers/${leaving.options.id}`);
  tested.record.write(`store    entry of ${leaving.options.id} removed`, acknowledgedAtMs);
  await clock.waitMs(DRAIN_MS + LINGER_MS);
  const answers = await clients.stop();
  const sentAtMs = new Map(answers.map((answer) => [answer.id, answer.sentAtMs]));
  // The machines are in touch again one stable window after the disruption; before, nothing counts.
  const judgedFromMs = Math.max(acknowledgedAtMs + DRAIN_MS, trouble === 'injected' ? disturbedAtMs + STABLE_WINDOW_MS : 0);
  const late = leaving.runs.filter((run) => sentAtMs.get(run.attemptId) > judgedFromMs);
  const times = late.map((run) => Math.round(run.atMs - acknowledgedAtMs));
  tested.machines.forEach((machine) => tested.record.write(machine.readLog().split('\n')
    .filter((line) => /instances-ch|store-/.test(line)).join('\n')));
  const served = answers.filter((answer) => answer.status === 200).length;
  return {
    result: late.length > 0 ? 'broken' : 'held',
    text: `${late.length} requests reached the instance that had left later than ${DRAIN_MS} ms after the acknowledgement`
      + `${late.length > 0 ? `, ${Math.min(...times)} to ${Math.max(...times)} ms after it` : ''}; ${served} of ${answers.length} requests were served`,
  };
});
