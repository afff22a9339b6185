package org.guavahatch.cli.soak

/** The invariants that a soak test checks. */
internal class SoakInvariants(
    private val endpoints: SoakEndpoints,
    private val revokedAtMilliseconds: Map<String, Long>,
) {
    /** Descriptions of the violations in [calls], one line each. */
    fun violations(calls: List<SoakCall>): List<String> = calls.flatMap { call ->
        val runs = endpoints.runs[call.id].orEmpty()
        listOfNotNull(
            "${call.id} ran ${runs.size} times".takeIf { call.route !in REPEATABLE_ROUTES && runs.size > 1 },
            "${call.id} ran and got ${call.status}".takeIf {
                call.route !in REPEATABLE_ROUTES && call.status in NOT_RUN_STATUSES && runs.isNotEmpty()
            },
            "${call.id} got a wrong answer".takeIf { call.status == SoakCallers.OK && call.body != expectedBody(call) },
            "${call.id} got ${call.status}, though its route exists".takeIf { call.status == NOT_FOUND },
            runWithRevokedKey(call, runs),
            mixed(call)?.let { "${call.id} is mixed: $it" },
        )
    }

    /** What [call] got that is not the answer of an endpoint to it, whole and as it was given; null if nothing. */
    private fun mixed(call: SoakCall): String? {
        val answers = endpoints.answers[call.id].orEmpty()
        val answer = answers.find { it.seal == call.seal }
        return when {
            call.seal == null -> "${call.status} without a seal".takeIf { call.isSuccess }
            answer == null -> "${call.status} with the seal ${call.seal} of no answer to it"
            answer.status != call.status -> "${call.status} in place of ${answer.status}, seal ${call.seal}"
            call.responseId != call.id -> "${call.status} with the id ${call.responseId}"
            call.route == RESUMABLE && call.isSuccess ->
                "${call.status}, though no answer to it is whole".takeIf { answers.none { it.isWhole } }
            !answer.isWhole -> "${call.status}, though the answer is cut"
            call.body != answer.body -> "${call.status} with a body that is not the answer's"
            else -> null
        }
    }

    private fun expectedBody(call: SoakCall): String = if (call.route in STREAM_ROUTES) {
        (1..SoakEndpoints.EVENTS).joinToString("") { "id: $it\ndata: ${call.id}\n\n" }
    } else {
        call.id
    }

    /**
     * A revoked key must be rejected after [REVOCATION_MILLISECONDS], even by a gateway that is cut off from the store.
     */
    private fun runWithRevokedKey(call: SoakCall, runs: List<Long>): String? {
        val end = revokedAtMilliseconds[call.key]?.let { it + REVOCATION_MILLISECONDS } ?: return null
        return "${call.id} ran with a revoked key".takeIf { call.sentAtMilliseconds > end && runs.isNotEmpty() }
    }

    private companion object {
        const val RESUMABLE = "resumable"
        val REPEATABLE_ROUTES = listOf("read", RESUMABLE)
        val STREAM_ROUTES = listOf("stream", RESUMABLE)
        val NOT_RUN_STATUSES = listOf(408, 421, 429, 503)
        const val NOT_FOUND = 404

        /** Bound on the time for which a deployment may still accept a revoked key. */
        const val REVOCATION_MILLISECONDS = 5_000L
    }
}
