/** Resolves at the first SIGTERM or SIGINT. */
export async function waitForSignal (): Promise<void> {
  await new Promise<void>(resolve => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
}
