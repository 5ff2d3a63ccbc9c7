import type * as documentOrder from './DocumentOrder.js';
import type * as documentReference from './DocumentReference.js';

const ANSWERS_NEEDED = 2;

// The list lags, so it may name peers that are gone; after this time fewer answers are enough if the platform answers.
const ANSWERS_WAIT_MS = 10_000;

/** Answer of one peer to an exchange of this incarnation. */
export interface StartupAnswer {
  readonly place: string;
  /** Document that the peer holds. A peer that starts as well may hold none; that is an answer, too. */
  readonly document: documentReference.DocumentReference | undefined;
}

/** What a VM that starts knows about the fleet. */
export interface StartupConditions {
  readonly held: documentReference.DocumentReference | undefined;
  /** Number of other VMs that the list or the settings name; undefined until either is known. */
  readonly listedPeers: number | undefined;
  readonly answers: readonly StartupAnswer[];
  /** Newest document that any peer named in this incarnation. */
  readonly newestAnnounced: documentReference.DocumentReference | undefined;
  /** Whether this incarnation has read a document from the platform. */
  readonly platform: 'read' | 'unread';
  readonly waitedMs: number;
}

/** Decides whether a VM that starts may serve under the document that it holds. */
export class StartupPolicy {
  /** @param order - Order of documents. */
  constructor(private readonly order: documentOrder.DocumentOrder) {}

  /**
   * Describes what the VM waits for.
   * @param facts - What the VM knows.
   * @returns Empty text if the VM may serve.
   */
  describeWait(conditions: StartupConditions): string {
    const { held, newestAnnounced: newestNamed, listedPeers } = conditions;
    if (newestNamed !== undefined && this.order.isNewer(newestNamed, held)) return `the text of version ${newestNamed.version}, which a peer named`;
    if (held === undefined) return 'a document';
    if (listedPeers === undefined) return 'the list of VMs';
    return conditions.answers.length >= Math.min(ANSWERS_NEEDED, listedPeers) ? '' : this.describeMissingAnswers(conditions, held);
  }

  private describeMissingAnswers(conditions: StartupConditions, held: documentReference.DocumentReference): string {
    const count = conditions.answers.length;
    if (count === 0) return 'an answer of a listed peer, none answers';
    if (conditions.waitedMs < ANSWERS_WAIT_MS) return `answers of ${ANSWERS_NEEDED} peers, ${count} so far`;
    if (conditions.platform === 'unread') return 'the platform or the answer of another peer';
    const agreeing = new Set(conditions.answers
      .filter((answer) => answer.document !== undefined && this.order.compareReferences(answer.document, held) === 0)
      .map((answer) => answer.place));
    const missing = conditions.answers.find((answer) => !agreeing.has(answer.place));
    return missing === undefined ? '' : `a peer in ${missing.place} that holds the same document`;
  }
}
