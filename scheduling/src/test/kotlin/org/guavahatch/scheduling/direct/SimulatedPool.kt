package org.guavahatch.scheduling.direct

import kotlin.random.Random

/**
 * Simulates the queue of one gateway and the engines of its pool; times are virtual milliseconds.
 *
 * @property slowness factor on the normal duration of a step, for each engine
 */
internal class SimulatedPool(seed: Int, slowness: List<Double>) {
    private val queue = WaitingQueue()
    private val chooser = EarliestFirstTokenChooser(Random(seed), "a")
    private val engines = slowness.mapIndexed { index, factor -> SimulatedEngine(endpointState("e$index"), factor) }

    /** All submitted requests, whether they were sent or not, indexed by their sequence number. */
    val streams = ArrayList<SimulatedStream>()

    /** Sequence number of the next request. */
    val nextSequence: Long get() = streams.size.toLong()

    /** Queues [request], whose answer will have [outputTokens]. */
    fun submit(request: WaitingRequest, outputTokens: Int) {
        streams += SimulatedStream(request, outputTokens)
        queue.add(request)
    }

    /** Advances the engines to [now], removes abandoned requests and sends the requests that have an endpoint. */
    fun advanceTo(now: Long) {
        engines.forEach { it.advanceTo(now) }
        queue.inDispatchOrder(now).filter { it.patienceEndsAt <= now }.forEach(queue::remove)
        while (send(now)) continue
    }

    private fun send(now: Long): Boolean {
        for (request in queue.candidates(now)) {
            val state = chooser.choose(request, engines.map { it.state }, now) ?: continue
            queue.remove(request)
            engines.first { it.state === state }.accept(streams[request.sequence.toInt()], now)
            return true
        }
        return false
    }
}
