/* eslint-disable no-await-in-loop -- the steps of a case follow each other in time */
import * as buffer from 'node:buffer';
import process from 'node:process';
import * as timers from 'node:timers/promises';

import * as deploymentModule from '../harness-2/Deployment.mjs';
import * as instanceStandin from '../harness-2/InstanceStandin.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const DEADLINE_MS = 2_000;
const ORDERS = 250;
const PERIOD_MS = 40;
// One instance of seven (share 0.14) fails every second request.
const FAILING = 'i-1';
const FAILING_EVERY = 2;
const PROMISES = new Set([408, 421, 429, 503]);

const deployment = new deploymentModule.Deployment({ caseFolder: import.meta.dirname, vmCount: 2 });
// Attempts by order, and those that an instance ran.
const runsByOrder = new Map();
const ranAttempts = new Set();
let failures = 0;

function createInstance(id) {
  const instance = new instanceStandin.InstanceStandin({
    id,
    service: 'orders',
    workMs: 30,
    onRequest: (request, socket, readNext) => {
      const order = request.body.toString();
      instance.run(request);
      ranAttempts.add(request.id);
      runsByOrder.set(order, [...runsByOrder.get(order) ?? [], `${request.id} at ${id}`]);
      deployment.record(`${id} runs ${request.id} (${order})`);
      globalThis.setTimeout(() => {
        const isFailing = TROUBLE && id === FAILING && instance.runs.length % FAILING_EVERY === 0;
        if (isFailing) {
          failures += 1;
          // A response of the instance itself. It has no X-Not-Executed, so it does not state that the request was not executed.
          instance.write(socket, 503, { 'X-Attempt-Id': request.id, 'X-Response-Seal': `seal-${id}` }, 'the order is stored, its confirmation failed');
        } else instance.answer(request, socket, 'done');
        readNext();
      }, 30);
      return true;
    },
  });
  return instance;
}

const instances = Array.from({ length: 7 }, (_, index) => createInstance(`i-${index + 1}`));
await Promise.all(instances.map((instance) => deployment.startInstance(instance)));
deployment.publishConfiguration(1, { orders: { prefix: '/orders/', kind: 'unsafe', service: 'orders' } });
await deployment.start();
await timers.setTimeout(1_000);

// As the pages say, a client retries an unsafe request only after a promise, on a new connection and with a new attempt id.
async function sendOrder(number, attempt, untilMs) {
  const id = `attempt-${number}-${attempt}`;
  const vm = (number + attempt) % 2;
  const { status, headers } = await deployment.send({
    vm,
    method: 'POST',
    path: '/orders/new',
    id,
    deadlineMs: Math.round(untilMs - deployment.getNowMs()),
    body: buffer.Buffer.from(`order-${number}`),
  });
  deployment.record(`${id} answered ${status} by vm-${vm}`);
  const broken = PROMISES.has(status) && ranAttempts.has(id) ? [id] : [];
  const remainingMs = untilMs - deployment.getNowMs();
  if (!PROMISES.has(status) || attempt === 3 || remainingMs < 300) return broken;
  await timers.setTimeout(Math.min(Number(headers['retry-after'] ?? 0) * 1_000, remainingMs / 3));
  return [...broken, ...await sendOrder(number, attempt + 1, untilMs)];
}

const orders = [];
for (let number = 0; number < ORDERS; number += 1) {
  orders.push(sendOrder(number, 1, deployment.getNowMs() + DEADLINE_MS));
  await timers.setTimeout(PERIOD_MS);
}
const broken = (await Promise.all(orders)).flat();
const doubled = [...runsByOrder].filter(([, runs]) => runs.length > 1);
doubled.forEach(([order, runs]) => deployment.record(`${order} was run more than once: ${runs.join(', ')}`));
deployment.record(`${failures} requests were run and answered 503 by their instance; ${broken.length} requests that had run were answered with a promise `
  + `that they had not; ${doubled.length} orders were run more than once`);
deployment.finish(broken.length > 0 ? 1 : 0);
