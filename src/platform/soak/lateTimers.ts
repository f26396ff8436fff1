/** Watches whether timers run in time on this machine: those of the soak's own loop, and those of threads beside it, as the daemons are other processes. */
import { Worker } from 'node:worker_threads'

/** Stops the watch. */
export type StopWatch = () => void

const tickMs = 50
/** A timer that is later than this, in ms, shows that the processes of the soak do not get the processor time that they need. */
const maxLateMs = 200
/** As many as there are daemons. */
const threadCount = 4

/** The program of a thread. */
const threadProgram = `
  let dueAtMs = performance.now() + ${tickMs}
  setInterval(() => {
    if (performance.now() - dueAtMs > ${maxLateMs}) require('node:worker_threads').parentPort.postMessage('late')
    dueAtMs = performance.now() + ${tickMs}
  }, ${tickMs})`

/** Calls `onLate` whenever a timer has been late. */
export function watchTimers (onLate: () => void): StopWatch {
  let dueAtMs = performance.now() + tickMs
  const timer = setInterval(() => {
    if (performance.now() - dueAtMs > maxLateMs) onLate()
    dueAtMs = performance.now() + tickMs
  }, tickMs)
  const threads = Array.from({ length: threadCount }, () => new Worker(threadProgram, { eval: true }).on('message', onLate))
  return () => {
    clearInterval(timer)
    for (const thread of threads) void thread.terminate()
  }
}
