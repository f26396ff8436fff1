/** Runs a daemon until a signal stops it. */

/** Waits for SIGTERM or SIGINT, calls `stop` and exits with 0. A SIGINT meanwhile exits immediately with 1. */
export async function runUntilSignal (stop: () => Promise<void>): Promise<void> {
  await new Promise<void>(resolve => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
  process.once('SIGINT', () => process.exit(1))
  await stop()
  process.exit(0)
}
