package org.guavahatch.cli.bench

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.protocol.message.Digest
import org.guavahatch.scheduling.choice.Candidate
import org.guavahatch.scheduling.choice.EndpointChooser
import org.guavahatch.scheduling.choice.RoutedRequest
import kotlin.random.Random

/**
 * Baseline that assigns each request to an engine on arrival. Each entry instance chooses with its own chooser and its
 * own counts of outstanding requests. Engines serve requests in order of arrival, and a request is cancelled at its
 * deadline.
 */
internal class PushPolicy(
    private val eventLoop: EventLoop,
    cacheCapacity: Int,
    seed: Int,
    chooser: () -> EndpointChooser,
) : BenchPolicy {
    private val random = Random(seed)
    private val listener = object : RecordingListener(eventLoop) {
        override fun onCompleted(request: BenchRequest) {
            super.onCompleted(request)
            outstanding.remove(request)?.let { (entry, engine) -> outstandingCounts[entry][engine]-- }
        }
    }
    override val engines: List<BenchEngine> =
        BenchWorkload.SPEEDS.map { BenchEngine(eventLoop, it, cacheCapacity, listener) }
    private val choosers = List(ENTRY_COUNT) { chooser() }
    private val outstandingCounts = List(ENTRY_COUNT) { IntArray(engines.size) }
    private val outstanding = HashMap<BenchRequest, Pair<Int, Int>>()
    private val reportedCounts = IntArray(engines.size)
    private val leaving = HashSet<Int>()

    override fun start(endMilliseconds: Double) {
        eventLoop.scheduleEvery(REPORT_PERIOD_MILLISECONDS, endMilliseconds) {
            engines.forEachIndexed { index, engine -> reportedCounts[index] = engine.requestCount }
        }
    }

    override fun onArrival(request: BenchRequest) {
        val entry = random.nextInt(ENTRY_COUNT)
        val candidates = engines.indices.filterNot { it in leaving }.map { candidate(entry, it) }
        val routed = RoutedRequest(request.rank, 1.0, 0.0)
        val engine = choosers[entry].choose(routed, candidates, 1, random).single().value.toInt()
        outstandingCounts[entry][engine]++
        outstanding[request] = entry to engine
        engines[engine].submit(request, 0)
        eventLoop.scheduleAt(request.deadlineMilliseconds) { expire(request, engine) }
    }

    private fun candidate(entry: Int, engine: Int) = Candidate(
        endpoint = EndpointId(engine.toString()),
        digest = Digest(EndpointId(engine.toString()), "pool", true, reportedCounts[engine], 0.0, emptyList(), 0, 1.0),
        outstandingRequests = outstandingCounts[entry][engine],
        costSinceDigest = 0.0,
        cachedPromptShare = 0.0,
        isLocalZone = true,
    )

    private fun expire(request: BenchRequest, engine: Int) {
        if (request.completedMilliseconds != null) return
        engines[engine].cancel(request)
        outstanding.remove(request)?.let { (entry, index) -> outstandingCounts[entry][index]-- }
        request.shedMilliseconds = eventLoop.nowMilliseconds
    }

    override fun onLeave(index: Int) {
        leaving += index
    }

    private companion object {
        const val ENTRY_COUNT = 4

        /** Period at which the load reports of the engines are updated. */
        const val REPORT_PERIOD_MILLISECONDS = 2000.0
    }
}
