package org.guavahatch.scheduling.direct

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Plays a crest of three times what a pool can do, and looks at what callers get. */
class CrestTest {
    private class Result(
        val served: Map<Int, Int>,
        val punctual: Map<Int, Int>,
        val refusedAfter: List<Long>,
        val left: Int,
    )

    @Test
    fun `at a crest the highest rank is served and what cannot be served is told so early`() {
        repeat(20) { seed ->
            val result = play(seed)
            assertTrue(result.served.getValue(0) >= 0.99 * PER_RANK, "seed $seed: rank 0 ${result.served}")
            assertTrue(result.punctual.getValue(0) >= 0.95 * PER_RANK, "seed $seed: rank 0 punctual ${result.punctual}")
            val median = result.refusedAfter.sorted()[result.refusedAfter.size / 2]
            assertTrue(median <= 2_000 / 2, "seed $seed: half of the refusals came after $median ms")
            assertEquals(0, result.left, "seed $seed: callers that left without an answer")
        }
    }

    /** Ranks 0 to 2 send one request each every 10 ms for 3 s; the pool takes one every 10 ms. */
    private fun play(seed: Int): Result {
        val pool = Pool(Random(seed))
        for (now in 0L until 10_000L) {
            if (now < 3_000 && now % 10 == 0L) pool.arrive(now)
            if (now % 10 == 5L) pool.serve(now)
            if (now % 20 == 0L) pool.refuseHopeless(now)
            pool.loseCallers(now)
        }
        return Result(pool.served, pool.punctual, pool.refusedAfter, pool.left)
    }

    private class Pool(private val random: Random) {
        private val queue = WaitingQueue()
        private val forecast = QueueForecast()
        private var sequence = 0L
        val served = HashMap<Int, Int>()
        val punctual = HashMap<Int, Int>()
        val refusedAfter = ArrayList<Long>()
        var left = 0

        fun arrive(now: Long) =
            repeat(3) { rank -> queue.add(waitingRequest(sequence++, rank, now - random.nextLong(3))) }

        fun serve(now: Long) {
            val request = queue.first(now) ?: return
            queue.remove(request)
            forecast.noteDispatch(now, queue.size > 0)
            served.merge(request.rank, 1, Int::plus)
            if (now <= request.targetAt) punctual.merge(request.rank, 1, Int::plus)
        }

        fun refuseHopeless(now: Long) {
            var ahead = 0
            queue.inOrder(now).forEach { request ->
                if (forecast.isHopeful(request, ahead, now)) {
                    ahead++
                } else {
                    queue.remove(request)
                    refusedAfter += now - request.arrivedAt
                }
            }
        }

        fun loseCallers(now: Long) {
            left += queue.inOrder(now).filter { it.abandonAt < now }.onEach(queue::remove).size
        }
    }

    private companion object {
        const val PER_RANK = 300
    }
}
