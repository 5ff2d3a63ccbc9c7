import type * as contracts from '../contracts/index.js';
import type * as callerRequest from './CallerRequest.js';
import type * as callerRules from './CallerRules.js';
import type * as kindMatcher from './KindMatcher.js';

/**
 * Declarations of the deployment document that apply to a request: the contract of its service, its kind (by method and path prefix) and
 * the member (tenant) of its caller.
 */
export interface RequestClass {
  readonly contract: contracts.ServiceContract;
  readonly kind: contracts.RequestKind;
  readonly member: contracts.MemberContract;
}

/** Reason why a request cannot be classified. */
export type ClassificationFailure = 'no-configuration' | 'unknown-service' | 'unknown-kind' | 'unknown-member';

interface ServiceEntry {
  readonly contract: contracts.ServiceContract;
  readonly matcher: kindMatcher.KindMatcher;
}

/** Finds the contract, kind and member that apply to a request under the deployment document in force. */
export class RequestClassifier {
  private services: ReadonlyMap<string, ServiceEntry> | undefined;

  private members: ReadonlyMap<string, contracts.MemberContract> = new Map();

  /** @param rules - Factory of the kind matchers. */
  constructor(private readonly rules: callerRules.CallerRules) {}

  /**
   * Applies a deployment document.
   * @param document - Document in force.
   */
  setDocument(document: contracts.DeploymentDocument): void {
    this.services = new Map(document.services.map((contract) => [
      contract.name, { contract, matcher: this.rules.createKindMatcher(contract.kinds) },
    ]));
    this.members = new Map(document.members.map((member) => [member.name, member]));
  }

  /**
   * Finds the contract, kind and member that apply to a request.
   * @param request - Request of a caller.
   */
  findClass(request: callerRequest.CallerRequest): RequestClass | ClassificationFailure {
    if (this.services === undefined) return 'no-configuration';
    const service = this.services.get(request.service);
    if (service === undefined) return 'unknown-service';
    const kind = service.matcher.findKind(request.method, request.path);
    if (kind === undefined) return 'unknown-kind';
    const member = this.members.get(request.member);
    return member === undefined ? 'unknown-member' : { contract: service.contract, kind, member };
  }
}
