/** Size of the fleet around the VM that is measured. */
export interface FleetSize {
  /** Entry VMs in the platform's list. */
  readonly vms: number;
  /** Services in the document. */
  readonly services: number;
  readonly instancesPerService: number;
  /** Request kinds of each service; a kind is one route. */
  readonly kindsPerService: number;
  readonly members: number;
  /** Documents published in a minute. */
  readonly changesPerMinute: number;
}

/** Size of one of today's deployments, which single dimensions are varied from. */
export const TODAY: FleetSize = {
  vms: 48, services: 2, instancesPerService: 18, kindsPerService: 4, members: 10, changesPerMinute: 0,
};
