/** How the soak tells a process that a signal ends before it has started from one that exits by itself. */
import { expect, test } from '@jest/globals'
import { delay } from '../../common/time.js'
import { startDaemonProcesses } from './daemonProcesses.js'

// Guards against a soak that reports an exit of the program where Node.js has not yet run it, and against one that excuses the exit of a host that has started.
test('a process that SIGTERM ends before it has logged anything counts as starting, a later one does not', async () => {
  const daemons = await startDaemonProcesses(1, `127.${1 + process.pid % 250}.251`, '127.0.0.1:9', { graceS: 6 })
  const [host] = daemons.hosts
  if (host === undefined) throw new Error('no host')
  try {
    expect(await host.terminate()).toMatchObject({ code: null, wasStarting: true, wasKilled: false })
    host.start()
    while (daemons.findLogLines(['"msg"']).length === 0) await delay(50)
    expect((await host.terminate()).wasStarting).toBe(false)
  } finally {
    await daemons.stop()
    daemons.removeFiles()
  }
}, 60_000)
