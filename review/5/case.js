/** A late write of the store replaces the counts of waiting jobs by older ones, and nothing writes them again. */
import { createId, isTroubled, runCase, startScene, wait } from '../standins/scene.js'

const queue = 'wash-plan'
const workers = 4
const earlyJobs = 8
const laterJobs = 24
/** The loss of the site file: a share of 0.35 of the writes for 4.5 s; done 1 to 6 s later. */
const lossMs = 4_500
const lostOf = 3
const maxShare = 0.35
const lateMs = 6_000
/** Jobs count as missing in `pending` when they were accepted over visible_ms + 2 s before. */
const visibleMs = 3_000 + 2_000

await runCase(import.meta.url, async context => {
  const { record } = context
  const capacity = { cpu: 64_000, memMb: 262_144, gpu: 8 }
  const plans = Array.from({ length: workers }, () => ({ labels: ['a', 'r1-0'], capacity }))
  const scene = await startScene(context, { workers: plans, getWork: () => ({ workMs: 100_000, how: 'done' }) })
  const job = { spec: 'long work', phases: [{ count: 1, cpu: 26_000, memMb: 75_000, gpu: 8, estimateMs: 30_000 }] }
  for (let number = 0; number < workers; number++) await scene.submit(queue, createId(number, 0x11), job)
  await wait(3_000)
  const begun = scene.events.filter(({ kind }) => kind === 'start').length
  if (begun !== workers) throw new Error('the workers are not full')
  const acceptedMs = []
  const endOfLossMs = performance.now() + lossMs
  if (isTroubled) loseWrites(scene.store, record)
  for (let number = 0; number < earlyJobs; number++) {
    await submit(number)
    await wait(400)
  }
  await wait(endOfLossMs - performance.now())
  scene.store.setLostWrites(undefined)
  record('writes are not lost any more')
  for (let number = earlyJobs; number < earlyJobs + laterJobs; number++) await submit(number)
  // Longer than contactMs after the last late write, so that the hosts are in touch.
  await wait(lateMs + 5_000)
  const broken = []
  for (let look = 0; look < 10; look++) {
    const waiting = acceptedMs.filter(atMs => performance.now() - atMs > visibleMs).length - countBegun()
    const pending = await scene.getPending(queue)
    if (pending < waiting / 2) broken.push({ rule: 'MIXED', pending, waiting, look })
    await wait(1_000)
  }
  return broken

  async function submit (number) {
    const { status } = await scene.submit(queue, createId(number, 0x22), job)
    if (status === 200) acceptedMs.push(performance.now())
  }

  function countBegun () {
    return scene.events.filter(({ kind }) => kind === 'start').length - begun
  }
})

/**
 * Of the writes of each kind of key, the second, fifth, eighth and so on get no answer, and are carried out late, as long as the share of all writes
 * stays within the limit.
 */
function loseWrites (store, record) {
  const counts = new Map()
  let writes = 0
  let lost = 0
  record('writes are lost', { maxShare, lateMs })
  store.setLostWrites(({ writes: items }) => {
    writes++
    const kind = items.map(({ key }) => key.split('/').slice(0, key.startsWith('counts/') ? 2 : 1).join('/')).join(' ')
    const number = counts.get(kind) ?? 0
    counts.set(kind, number + 1)
    if (number % lostOf !== 1 || lost + 1 > maxShare * writes) return undefined
    lost++
    record('a write gets no answer and is carried out late', { keys: items.map(({ key }) => key), lateMs, lost, writes })
    return lateMs
  })
}
