import * as buffer from 'node:buffer';
import process from 'node:process';
import * as timers from 'node:timers/promises';

import * as deploymentModule from '../harness-2/Deployment.mjs';
import * as instanceStandin from '../harness-2/InstanceStandin.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
// `drain` of the settings.
const DRAIN_MS = 2_000;
const WORK_MS = 290;
const PERIOD_MS = 33;
// The instance serves for `drain` and a little longer.
const SERVES_MS = 3_500;
const CUT_MS = 4_000;
const LEAVING = 'i-1';

const deployment = new deploymentModule.Deployment({ caseFolder: import.meta.dirname, vmCount: 2 });
// Time at which each VM first passed on an answer with Server-Leaving.
const toldAtMs = new Map();
const requests = new Map();
let state = 'serving';

function createInstance(id) {
  const instance = new instanceStandin.InstanceStandin({
    id,
    service: 'orders',
    onRequest: (request, socket, readNext) => {
      instance.run(request);
      const sent = requests.get(request.id);
      sent.instance = id;
      deployment.record(`${request.id} reaches ${id}, which runs it`);
      globalThis.setTimeout(() => {
        if (socket.destroyed) return;
        instance.answer(request, socket, 'done', id === LEAVING && state === 'leaving' ? { 'Server-Leaving': '1' } : {});
        readNext();
      }, WORK_MS);
      return true;
    },
  });
  return instance;
}

const instances = ['i-1', 'i-2', 'i-3'].map((id) => createInstance(id));
const leaving = instances[0];
await Promise.all(instances.map((instance) => deployment.startInstance(instance)));
deployment.publishConfiguration(1, { orders: { prefix: '/orders/', kind: 'unsafe', service: 'orders' } });
await deployment.start();

async function sendOrder(number) {
  const vm = number % 2;
  const id = `order-${number}`;
  const sent = { vm, sentAtMs: deployment.getNowMs() };
  requests.set(id, sent);
  deployment.record(`${id} sent to vm-${vm}`);
  const { status, headers, error } = await deployment.send({
    vm, method: 'POST', path: '/orders/new', id, body: buffer.Buffer.from('an order'),
  });
  sent.status = status;
  const isTold = headers?.['server-leaving'] === '1';
  deployment.record(`${id} ${status === 0 ? error : `answered ${status}`}${isTold ? ' with Server-Leaving' : ''}`);
  if (isTold && !toldAtMs.has(vm)) toldAtMs.set(vm, deployment.getNowMs());
}

const orders = [];
let number = 0;
const load = globalThis.setInterval(() => {
  number += 1;
  orders.push(sendOrder(number));
}, PERIOD_MS);
await timers.setTimeout(4_000);
if (TROUBLE) {
  deployment.hosts.forEach((_, vm) => deployment.store.cutVms.add(vm));
  deployment.record('the VMs are cut off from the store');
}
const cutAtMs = deployment.getNowMs();
await timers.setTimeout(200);
state = 'leaving';
deployment.store.setItem(`servers/${LEAVING}`, leaving.buildEntry(2, 'draining'));
deployment.record(`${LEAVING} reports draining, which the store accepts, and says Server-Leaving in all its answers from now on`);
await timers.setTimeout(SERVES_MS);
leaving.close();
deployment.store.removeItem(`servers/${LEAVING}`);
deployment.record(`${LEAVING} exits`);
await timers.setTimeout(CUT_MS - (deployment.getNowMs() - cutAtMs));
deployment.store.cutVms.clear();
deployment.record('the VMs reach the store again');
await timers.setTimeout(500);
globalThis.clearInterval(load);
await Promise.all(orders);

const late = [...requests].filter(([, { vm, sentAtMs, instance }]) => (
  instance === LEAVING && sentAtMs > (toldAtMs.get(vm) ?? Infinity) + DRAIN_MS
));
const lost = late.filter(([, { status }]) => status !== 200);
deployment.record(`${late.length} requests that were sent more than ${DRAIN_MS} ms after their VM had passed on an answer with Server-Leaving reached ${LEAVING}: `
  + `${late.map(([id]) => id).join(', ')}`);
deployment.record(`${lost.length} of them were lost when it exited: ${lost.map(([id, { status }]) => `${id} (${status})`).join(', ')}`);
if (toldAtMs.size === 0) deployment.exitUnable('no answer with Server-Leaving was passed on');
deployment.finish(late.length > 0 ? 1 : 0);
