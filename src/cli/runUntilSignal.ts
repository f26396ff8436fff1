/** Runs a daemon until a signal stops it. */

/** Waits for SIGTERM or SIGINT, calls `stop` and exits with code 0. A SIGINT while `stop` runs exits immediately with code 1. */
export async function runUntilSignal (stop: () => Promise<void>): Promise<void> {
  await new Promise<void>(resolve => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
  process.once('SIGINT', () => process.exit(1))
  await stop()
  process.exit(0)
}
