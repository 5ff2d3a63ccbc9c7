import type * as core from '@tamarackferry/core';

import type * as links from '../links/index.js';
import type * as vms from '../vms/index.js';
import type * as worlds from '../worlds/index.js';
import * as attempts from './Attempt.js';
import type * as fakeInstance from './FakeInstance.js';
import * as upstreamRun from './UpstreamRun.js';

const PROBE_SLOT_MS = 25;

const CONTENT_TYPE = [['content-type', 'text/plain']] as const;

type Sent = Extract<core.vms.VmOutput, { type: 'send-attempt' }>;

/** Options of `FakeConnections`. */
export interface FakeConnectionsOptions {
  readonly queue: worlds.EventQueue;
  readonly links: links.LinkTable;
  readonly getInstance: (name: string) => fakeInstance.FakeInstance | undefined;
  /** Returns the token of the request in a path. */
  readonly readToken: (path: string) => string;
  /** Called with each result before the VM gets it. */
  readonly onResult: (machine: vms.FakeMachine, instance: fakeInstance.FakeInstance, result: core.upstreams.AttemptResult) => void;
}

/** Connections between fake VMs and fake instances: carries attempts, cancellations and probes. */
export class FakeConnections {
  // Attempts in progress of the running process of each machine.
  private readonly attempts = new Map<vms.FakeMachine, { readonly run: number; readonly open: Map<string, attempts.Attempt> }>();

  /** @param options - Surroundings. */
  constructor(private readonly options: FakeConnectionsOptions) {}

  /**
   * Carries an attempt to its instance.
   * @param machine - Sending machine.
   * @param output - Attempt.
   */
  sendAttempt(machine: vms.FakeMachine, output: Sent): void {
    const { queue, links: table, getInstance } = this.options;
    const instance = getInstance(output.instance.name);
    if (instance === undefined) return;
    const attempt = new attempts.Attempt({
      machine,
      run: machine.run,
      attemptId: output.attemptId,
      instance,
      echo: output.contract.requestIdEcho,
      deadlineAtMs: queue.getNowMs() + output.timeoutMs,
    });
    this.getOpen(machine).set(output.attemptId, attempt);
    const delayMs = table.drawStreamDelayMs(machine.endpoint, instance.endpoint);
    if (delayMs === undefined) this.scheduleTimeout(attempt);
    else queue.schedule(delayMs, () => this.receiveAttempt(attempt, output));
  }

  /**
   * Carries a cancellation.
   * @param machine - Sending machine.
   * @param attemptId - Attempt to cancel.
   */
  cancelAttempt(machine: vms.FakeMachine, attemptId: string): void {
    const { queue, links: table } = this.options;
    const attempt = this.getOpen(machine).get(attemptId);
    if (attempt === undefined || attempt.state === 'ended') return;
    const delayMs = table.drawStreamDelayMs(machine.endpoint, attempt.options.instance.endpoint);
    const waitMs = 4 * (delayMs ?? 0) + 1;
    queue.schedule(waitMs, () => this.end(attempt, { type: 'cancelled', confirmation: 'silent' }));
    if (delayMs === undefined) return;
    queue.schedule(delayMs, () => {
      if (attempt.work !== undefined) attempt.options.instance.cancel(attempt.work);
    });
  }

  /**
   * Carries a probe.
   * @param machine - Sending machine.
   * @param output - Probe.
   */
  sendProbe(machine: vms.FakeMachine, output: Extract<core.vms.VmOutput, { type: 'send-probe' }>): void {
    const { queue, links: table } = this.options;
    const instance = this.options.getInstance(output.instance.name);
    if (instance === undefined) return;
    const { run } = machine;
    const sentAtMs = queue.getNowMs();
    let open = true;
    const end = (result: core.upstreams.ProbeResult): void => {
      if (!open || machine.run !== run) return;
      open = false;
      machine.deliver({
        type: 'probe-ended', service: output.instance.service, instance: output.instance.name, result,
      });
    };
    const endLater = (result: core.upstreams.ProbeResult): void => {
      const delayMs = table.drawStreamDelayMs(instance.endpoint, machine.endpoint);
      if (delayMs !== undefined) queue.schedule(delayMs, () => end(result.type === 'healthy' ? { ...result, latencyMs: queue.getNowMs() - sentAtMs } : result));
    };
    queue.schedule(output.timeoutMs, () => end({ type: 'failed' }));
    const delayMs = table.drawStreamDelayMs(machine.endpoint, instance.endpoint);
    if (delayMs === undefined) return;
    queue.schedule(delayMs, () => {
      if (instance.getState() === 'dead') endLater({ type: 'failed' });
      else {
        instance.receive(new upstreamRun.UpstreamRun({
          token: '',
          serviceTimeMs: PROBE_SLOT_MS,
          deadlineAtMs: sentAtMs + output.timeoutMs,
          cancellation: 'silent',
          reply: (reply) => endLater(FakeConnections.readProbe(instance, reply)),
          reset: () => endLater({ type: 'failed' }),
        }));
      }
    });
  }

  private receiveAttempt(attempt: attempts.Attempt, output: Sent): void {
    const { instance } = attempt.options;
    if (instance.getState() === 'dead') {
      this.endLater(attempt, { type: 'refused' });
      return;
    }
    if (attempt.state === 'ended') return;
    const token = this.options.readToken(output.request.path);
    const work = new upstreamRun.UpstreamRun({
      token,
      serviceTimeMs: instance.plan.serviceTimeMs.get(FakeConnections.findKind(output)) ?? PROBE_SLOT_MS,
      deadlineAtMs: attempt.options.deadlineAtMs,
      cancellation: instance.plan.cancellation,
      reply: (reply) => this.handleReply(attempt, token, reply),
      reset: () => this.endLater(attempt, { type: 'reset' }),
    });
    attempt.setWork(work);
    const replyAtMs = instance.receive(work);
    if (replyAtMs === undefined || replyAtMs >= attempt.options.deadlineAtMs) this.scheduleTimeout(attempt);
  }

  private handleReply(attempt: attempts.Attempt, token: string, reply: upstreamRun.InstanceReply): void {
    if (reply.notRun === 'cancelled') {
      this.endLater(attempt, { type: 'cancelled', confirmation: 'confirmed-not-run' });
    } else if (reply.answer === 'truncated') {
      this.endLater(attempt, { type: 'truncated' });
    } else {
      const result: core.upstreams.AttemptResult = {
        type: 'answered',
        answer: { status: FakeConnections.computeStatus(reply), headers: CONTENT_TYPE, body: Buffer.from(`${reply.token}.`) },
        echo: FakeConnections.compareEcho(attempt, reply.token === token),
        notRun: attempt.options.instance.plan.contract.notRunAnswers === 'declared' ? reply.notRun : undefined,
        drain: reply.drain,
        load: reply.load,
      };
      if (reply.answer === 'late') this.deliverLate(attempt, result);
      else this.endLater(attempt, result);
    }
  }

  // A late answer reaches the VM after its attempt has ended as timed out.
  private deliverLate(attempt: attempts.Attempt, result: core.upstreams.AttemptResult): void {
    const { queue } = this.options;
    queue.schedule(attempt.options.deadlineAtMs - queue.getNowMs() + PROBE_SLOT_MS, () => {
      if (attempt.options.machine.run === attempt.options.run) attempt.options.machine.deliver({ type: 'attempt-ended', attemptId: attempt.options.attemptId, result });
    });
  }

  private endLater(attempt: attempts.Attempt, result: core.upstreams.AttemptResult): void {
    const delayMs = this.options.links.drawStreamDelayMs(attempt.options.instance.endpoint, attempt.options.machine.endpoint);
    const leftMs = attempt.options.deadlineAtMs - this.options.queue.getNowMs();
    if (delayMs === undefined || delayMs >= leftMs) this.scheduleTimeout(attempt);
    else this.options.queue.schedule(delayMs, () => this.end(attempt, result));
  }

  // Most attempts end in time, so the event is scheduled only for those that will not or may not.
  private scheduleTimeout(attempt: attempts.Attempt): void {
    const { queue } = this.options;
    queue.schedule(attempt.options.deadlineAtMs - queue.getNowMs(), () => this.end(attempt, { type: 'timed-out' }));
  }

  private getOpen(machine: vms.FakeMachine): Map<string, attempts.Attempt> {
    const known = this.attempts.get(machine);
    if (known?.run === machine.run) return known.open;
    const open = new Map<string, attempts.Attempt>();
    this.attempts.set(machine, { run: machine.run, open });
    return open;
  }

  private end(attempt: attempts.Attempt, result: core.upstreams.AttemptResult): void {
    if (attempt.state === 'ended') return;
    attempt.end();
    if (attempt.options.machine.run !== attempt.options.run) return;
    this.getOpen(attempt.options.machine).delete(attempt.options.attemptId);
    this.options.onResult(attempt.options.machine, attempt.options.instance, result);
    attempt.options.machine.deliver({ type: 'attempt-ended', attemptId: attempt.options.attemptId, result });
  }

  private static computeStatus(reply: upstreamRun.InstanceReply): number {
    if (reply.notRun !== undefined) return 503;
    return reply.answer === 'failed' ? 500 : 200;
  }

  private static compareEcho(attempt: attempts.Attempt, matched: boolean): 'matched' | 'mismatched' | 'absent' {
    if (attempt.options.echo === 'absent') return 'absent';
    return matched ? 'matched' : 'mismatched';
  }

  private static readProbe(instance: fakeInstance.FakeInstance, reply: upstreamRun.InstanceReply): core.upstreams.ProbeResult {
    if (reply.drain === 'leaving') return { type: 'draining' };
    if (instance.health === 'unhealthy' || reply.notRun !== undefined) return { type: 'unhealthy' };
    return { type: 'healthy', latencyMs: 0, load: reply.load };
  }

  private static findKind(output: Sent): string {
    const { method, path } = output.request;
    return output.contract.kinds.find((kind) => kind.method === method && path.startsWith(kind.pathPrefix))?.name ?? '';
  }
}
