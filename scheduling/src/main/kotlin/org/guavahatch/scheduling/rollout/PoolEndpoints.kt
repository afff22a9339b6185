package org.guavahatch.scheduling.rollout

import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.identity.EndpointId

/** The listed endpoints of a pool by side. */
internal class PoolEndpoints(private val targetVersion: String) {
    private var previousSample: List<EndpointId> = emptyList()

    /** Endpoints of the target version that accept requests. */
    var target: List<ListedEndpoint> = emptyList()
        private set

    /** Endpoints of the old side that accept requests. */
    var previous: List<ListedEndpoint> = emptyList()
        private set

    /** Whether an endpoint of the old side was ever listed. */
    var hasHadPrevious: Boolean = false
        private set

    fun update(listed: Collection<ListedEndpoint>) {
        val (newer, older) = listed.partition { it.version == targetVersion }
        target = newer.filter { !it.isLeaving }
        previous = older.filter { !it.isLeaving }
        if (older.isNotEmpty()) hasHadPrevious = true
        // Endpoints of the old side leave only at the end, so those of the first lists are kept as the sample.
        val ids = previous.map { it.id }.sortedWith(compareBy({ StableHash.of(it.value) }, { it }))
        if (ids.isNotEmpty()) previousSample = ids.take(EndpointSample.COUNT)
    }

    /** Buckets of the sampled endpoints of the old side, one entry for each endpoint. */
    val previousBuckets: List<Int> get() = previousSample.map { EndpointSample.indexOf(it) }

    /** Returns the bucket of [endpoint], or null if it is not in the sample. */
    fun bucketOf(endpoint: EndpointId): Int? =
        if (endpoint in previousSample) EndpointSample.indexOf(endpoint) else null
}
