/** Keeps a daemon running until it is told to stop. */

/** Resolves after SIGTERM or SIGINT, when `stop` has finished. A second signal ends the process at once. */
export async function runUntilSignal (stop: () => Promise<void>): Promise<void> {
  await new Promise<void>(resolve => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
  process.once('SIGINT', () => process.exit(1))
  await stop()
  process.exit(0)
}
