package org.guavahatch.cli.bench

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.protocol.message.Digest
import org.guavahatch.scheduling.choice.Candidate
import org.guavahatch.scheduling.choice.EndpointChooser
import org.guavahatch.scheduling.choice.RoutedRequest
import kotlin.random.Random

/**
 * A baseline: each entry instance picks an engine for each request at its arrival and sends it there. Engines queue
 * in the order of arrival; a request whose deadline passes is cancelled.
 */
internal class PushPolicy(
    private val time: VirtualTime,
    cachedGroups: Int,
    seed: Int,
    chooser: () -> EndpointChooser,
) : BenchPolicy {
    private val random = Random(seed)
    private val listener = object : NotingListener(time) {
        override fun onDone(request: BenchRequest) {
            super.onDone(request)
            outstanding.remove(request)?.let { (entry, engine) -> counts[entry][engine]-- }
        }
    }
    override val engines: List<BenchEngine> = BenchWorkload.SPEEDS.map { BenchEngine(time, it, cachedGroups, listener) }
    private val choosers = List(ENTRIES) { chooser() }
    private val counts = List(ENTRIES) { IntArray(engines.size) }
    private val outstanding = HashMap<BenchRequest, Pair<Int, Int>>()
    private val reports = IntArray(engines.size)
    private val leaving = HashSet<Int>()

    override fun start(endMilliseconds: Double) {
        time.every(REPORT_MILLISECONDS, endMilliseconds) {
            engines.forEachIndexed { index, engine -> reports[index] = engine.requests }
        }
    }

    override fun onArrival(request: BenchRequest) {
        val entry = random.nextInt(ENTRIES)
        val candidates = engines.indices.filterNot { it in leaving }.map { candidate(entry, it) }
        val routed = RoutedRequest(request.rank, 1.0, 0.0)
        val engine = choosers[entry].choose(routed, candidates, 1, random).single().value.toInt()
        counts[entry][engine]++
        outstanding[request] = entry to engine
        engines[engine].submit(request, 0)
        time.at(request.deadlineMilliseconds) { giveUp(request, engine) }
    }

    private fun candidate(entry: Int, engine: Int) = Candidate(
        endpoint = EndpointId(engine.toString()),
        digest = Digest(EndpointId(engine.toString()), "pool", true, reports[engine], 0.0, emptyList(), 0, 1.0),
        outstandingRequests = counts[entry][engine],
        costSinceDigest = 0.0,
        cachedPromptShare = 0.0,
        isLocalZone = true,
    )

    private fun giveUp(request: BenchRequest, engine: Int) {
        if (request.doneMilliseconds != null) return
        engines[engine].cancel(request)
        outstanding.remove(request)?.let { (entry, index) -> counts[entry][index]-- }
        request.shedMilliseconds = time.nowMilliseconds
    }

    override fun onLeave(index: Int) {
        leaving += index
    }

    private companion object {
        const val ENTRIES = 4
        const val REPORT_MILLISECONDS = 2000.0
    }
}
