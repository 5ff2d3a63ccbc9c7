import type * as documentOrder from './DocumentOrder.js';
import type * as documentReference from './DocumentReference.js';

const ANSWERS_NEEDED = 2;

// The platform's list may be out of date and contain stopped VMs. After this time, fewer answers suffice if a document was read
// from the platform.
const ANSWERS_WAIT_MS = 10_000;

/** Reply of one peer to an exchange request of this incarnation. */
export interface StartupAnswer {
  readonly place: string;
  /** Document that the peer holds; undefined if it holds none, which counts as an answer too. */
  readonly document: documentReference.DocumentReference | undefined;
}

/** Conditions that decide whether a starting VM may serve. */
export interface StartupConditions {
  readonly held: documentReference.DocumentReference | undefined;
  /** Number of other VMs in the platform's list, or of seed peers in the settings; undefined until either is known. */
  readonly listedPeers: number | undefined;
  readonly answers: readonly StartupAnswer[];
  /** Newest document that a peer announced to this incarnation. */
  readonly newestAnnounced: documentReference.DocumentReference | undefined;
  /** Whether this incarnation has read a document from the platform. */
  readonly platform: 'read' | 'unread';
  readonly waitedMs: number;
}

/** Decides whether a starting VM may serve with the document that it holds. */
export class StartupPolicy {
  /** @param order - Order of document versions. */
  constructor(private readonly order: documentOrder.DocumentOrder) {}

  /**
   * Describes what the VM waits for.
   * @param conditions - Conditions to evaluate.
   * @returns Empty text if the VM may serve.
   */
  describeWait(conditions: StartupConditions): string {
    const { held, newestAnnounced, listedPeers } = conditions;
    if (newestAnnounced !== undefined && this.order.isNewer(newestAnnounced, held)) return `the text of version ${newestAnnounced.version}, which a peer named`;
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
