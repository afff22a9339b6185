package org.guavahatch.scheduling.direct

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Simulates a peak load of three times the capacity of a pool; callers must not wait until they give up. */
class PeakLoadTest {
    private class Result(
        val served: Map<Int, Int>,
        val onTime: Map<Int, Int>,
        val refusedAfter: List<Long>,
        val abandoned: Int,
    )

    @Test
    fun `at peak load the highest rank is served and hopeless requests are refused early`() {
        repeat(20) { seed ->
            val result = simulate(seed)
            assertTrue(result.served.getValue(0) >= 0.99 * RANK_REQUESTS, "seed $seed: rank 0 ${result.served}")
            assertTrue(result.onTime.getValue(0) >= 0.95 * RANK_REQUESTS, "seed $seed: rank 0 on time ${result.onTime}")
            val median = result.refusedAfter.sorted()[result.refusedAfter.size / 2]
            assertTrue(median <= 2_000 / 2, "seed $seed: half of the refusals came after $median ms")
            assertEquals(0, result.abandoned, "seed $seed: callers that gave up without an answer")
        }
    }

    /** Ranks 0 to 2 each send one request every 10 ms for 3 s; the pool serves one every 10 ms. */
    private fun simulate(seed: Int): Result {
        val pool = Pool(Random(seed))
        for (now in 0L until 10_000L) {
            if (now < 3_000 && now % 10 == 0L) pool.arrive(now)
            if (now % 10 == 5L) pool.serve(now)
            if (now % 20 == 0L) pool.refuseHopeless(now)
            pool.removeAbandoned(now)
        }
        return Result(pool.served, pool.onTime, pool.refusedAfter, pool.abandoned)
    }

    private class Pool(private val random: Random) {
        private val queue = WaitingQueue()
        private val forecast = QueueForecast()
        private var sequence = 0L
        val served = HashMap<Int, Int>()
        val onTime = HashMap<Int, Int>()
        val refusedAfter = ArrayList<Long>()
        var abandoned = 0

        fun arrive(now: Long) =
            repeat(3) { rank -> queue.add(waitingRequest(sequence++, rank, now - random.nextLong(3))) }

        fun serve(now: Long) {
            val request = queue.next(now) ?: return
            queue.remove(request)
            forecast.recordDispatch(now, queue.size > 0)
            served.merge(request.rank, 1, Int::plus)
            if (now <= request.objectiveEndsAt) onTime.merge(request.rank, 1, Int::plus)
        }

        fun refuseHopeless(now: Long) {
            var ahead = 0
            queue.inDispatchOrder(now).forEach { request ->
                if (forecast.canDispatchInTime(request, ahead, now)) {
                    ahead++
                } else {
                    queue.remove(request)
                    refusedAfter += now - request.arrivedAt
                }
            }
        }

        fun removeAbandoned(now: Long) {
            abandoned += queue.inDispatchOrder(now).filter { it.patienceEndsAt < now }.onEach(queue::remove).size
        }
    }

    private companion object {
        const val RANK_REQUESTS = 300
    }
}
