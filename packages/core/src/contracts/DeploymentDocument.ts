import type * as places from '../places/index.js';
import type * as documentReference from './DocumentReference.js';
import type * as memberContract from './MemberContract.js';
import type * as serviceContract from './ServiceContract.js';

/** Configuration of one deployment, as declared in the operators' console. */
export interface DeploymentDocument {
  readonly reference: documentReference.DocumentReference;
  readonly deployment: string;
  /** Digest of the version that this one was edited from in the console; empty for the first version. */
  readonly baseDigest: string;
  readonly places: readonly places.Place[];
  readonly services: readonly serviceContract.ServiceContract[];
  readonly members: readonly memberContract.MemberContract[];
  /** Sealed text that the document was parsed from. */
  readonly text: string;
}
