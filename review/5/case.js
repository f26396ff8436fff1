/** Jobs that a worker has refused to start are not counted as waiting, although none of their tasks has begun. */
import { createId, isTroubled, runCase, startScene, wait } from '../standins/scene.js'

const queue = 'wash-plan'
const jobs = 8
/** The longest time for which workers of the site file fail what they are sent. */
const refusingMs = 6_500
const visibleMs = 3_000 + 2_000

await runCase(import.meta.url, async context => {
  const { record } = context
  const capacity = { cpu: 64_000, memMb: 262_144, gpu: 8 }
  const plans = Array.from({ length: 12 }, (_, index) => ({ labels: ['a', index < 11 ? 'r1-0' : 'r1-1'], capacity }))
  const scene = await startScene(context, { workers: plans, getWork: () => ({ workMs: 1_000, how: 'done' }) })
  const unhealthy = scene.workers.at(-1)
  const acceptedMs = []
  if (isTroubled) {
    record('a worker refuses all starts', { worker: unhealthy.id })
    unhealthy.setRefusing(true)
    setTimeout(() => {
      unhealthy.setRefusing(false)
      record('the worker is well again')
    }, refusingMs)
  }
  const endMs = performance.now() + refusingMs
  for (let number = 0; number < jobs; number++) {
    const { status } = await scene.submit(queue, createId(number, 0x33), { spec: 'work', phases: [{ count: 1, cpu: 5_600, memMb: 23_000, gpu: 1, estimateMs: 1_000, selector: 'r1-1' }] })
    if (status === 200) acceptedMs.push(performance.now())
  }
  const broken = []
  while (performance.now() < endMs) {
    const waiting = acceptedMs.filter(atMs => performance.now() - atMs > visibleMs).length - scene.events.filter(({ kind }) => kind === 'start').length
    const pending = await scene.getPending(queue)
    if (waiting > 0 && pending < waiting / 2) broken.push({ rule: 'MIXED', pending, waiting })
    await wait(200)
  }
  await wait(5_000)
  return broken
})
