import * as clock from '../harness/clock.js';
import * as deployment from '../harness/Deployment.js';
import * as frontMachine from '../harness/FrontMachine.js';
import * as runner from '../harness/runCase.js';

const ZONE = 'osr-a';
const CONFIG_APPLY_MS = 2_000;
const SETTLE_MS = 4_000;
const ROUTES = 6;
const REQUESTS = 20;

const layout = {
  zones: [ZONE],
  machines: [1, 2, 3].map((number) => ({ name: `edge-${ZONE}-${number}`, zone: ZONE, isSeed: true })),
};

function buildRoutes(target) {
  return Object.fromEntries(Array.from({ length: ROUTES }, (_, index) => [`r-${index}`, {
    host: deployment.HOST_NAME, prefix: `/r${index}/`, kind: 'unsafe', timeout: '2000ms', target_latency: '1000ms', priority: 1, max_attempts: 2, ...target,
  }]));
}

await runner.runCase(import.meta.dirname, layout, async (tested, trouble) => {
  const services = ['old', 'left', 'right'];
  await Promise.all(services.map((service) => tested.startInstance({
    id: `i-${service}`, service, zone: ZONE, slots: 16,
  })));
  // Without the disruption, the old service is left out of the split instead of being given the weight 0.
  const split = [
    ...trouble === 'injected' ? [{ service: 'old', weight: 0 }] : [], { service: 'left', weight: 50 }, { service: 'right', weight: 50 },
  ];
  tested.publishConfiguration(7, buildRoutes({ service: 'old' }), services);
  if (!await tested.startMachines()) return { result: 'not-run', text: 'not all machines became ready' };
  await clock.waitMs(SETTLE_MS);
  const acknowledgedAtMs = tested.publishConfiguration(12, buildRoutes({ traffic_split: split }), services);
  await clock.waitMs(CONFIG_APPLY_MS + 500);
  /* eslint-disable no-await-in-loop */
  for (let number = 0; number < REQUESTS; number += 1) {
    await Promise.all(tested.machines.flatMap((machine) => Array.from({ length: ROUTES }, (_, route) => tested.client.sendRequest({
      host: machine.options.host, port: frontMachine.PORTS.front, hostName: deployment.HOST_NAME, path: `/r${route}/${number}`, deadlineMs: 2_000,
    }))));
  }
  /* eslint-enable no-await-in-loop */
  const runs = new Map(tested.instances.map((instance) => [instance.options.service, instance.runs.length]));
  const delays = tested.instances.find(({ options }) => options.service === 'old').runs.map((run) => Math.round(run.atMs - acknowledgedAtMs));
  return {
    result: delays.length > 0 ? 'broken' : 'held',
    text: `the old service ran ${delays.length} requests that were sent later than ${CONFIG_APPLY_MS} ms after the acknowledgement`
      + `${delays.length > 0 ? `, the latest ${Math.max(...delays)} ms after it` : ''}; the others ran ${runs.get('left')} and ${runs.get('right')}`,
  };
});
