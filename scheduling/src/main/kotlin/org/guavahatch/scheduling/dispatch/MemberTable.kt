package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.protocol.message.Digest

/** The endpoints known to an entry instance. */
internal class MemberTable {
    private val byEndpoint = LinkedHashMap<EndpointId, Member>()

    val all: Collection<Member> get() = byEndpoint.values

    operator fun get(endpoint: EndpointId): Member? = byEndpoint[endpoint]

    fun getValue(endpoint: EndpointId): Member = byEndpoint.getValue(endpoint)

    fun getOrAdd(endpoint: EndpointId, pool: String, isLocalZone: Boolean): Member =
        byEndpoint.getOrPut(endpoint) { Member(endpoint, pool, isLocalZone) }

    /** Members of [pool] that requests can be offered to. */
    fun accepting(pool: String): List<Member> {
        val accepting = all.filter { it.pool == pool && it.isAccepting }
        return if (excludesStragglers(pool)) accepting.filterNot { it.isStraggling } else accepting
    }

    /**
     * Whether stragglers are excluded from [pool]. They are while they make up less than half of its accepting members,
     * so that a slowdown of the whole pool excludes no endpoint.
     */
    fun excludesStragglers(pool: String): Boolean {
        val accepting = all.filter { it.pool == pool && it.isAccepting }
        return accepting.count { it.isStraggling } * 2 < accepting.size
    }

    fun onDigest(endpoint: EndpointId, digest: Digest) {
        val member = byEndpoint[endpoint] ?: return
        member.digest = digest
        member.costSinceDigest = 0.0
        member.isLeaving = !digest.isAccepting
    }

    fun onLeaving(endpoint: EndpointId) {
        byEndpoint[endpoint]?.isLeaving = true
    }
}
