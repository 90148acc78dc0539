/** Defaults of `ClaimOptions`, in ms. */
export const claimDefaults = {
  authority: 3_000,
  longestAction: 2_000,
  retryPause: 500,
  checkPeriod: 30_000
}
