/** Running subscription to the timer service. */
export interface TimerSubscription {
  /** Ends the subscription. Has no effect after the subscription has ended. */
  cancel(): void;
}
