package org.guavahatch.coordination.http

import io.ktor.client.statement.HttpResponse

/**
 * Tells the head of one answer from the beginning of one and the whole of another, which clients read as one head, with
 * the status of the first and the fields of the second.
 */
public object AnswerHeads {
    private val statusLine = Regex("HTTP/[0-9]\\.[0-9] [0-9]{3}(?= |$)")

    /** Whether the head of [response] holds a second status line, or more than one value of [singleHeader]. */
    public fun isPutTogether(response: HttpResponse, singleHeader: String? = null): Boolean {
        val values = response.headers.entries().flatMap { it.value } + response.status.description
        val isRepeated = singleHeader != null && response.headers.getAll(singleHeader).orEmpty().distinct().size > 1
        return isRepeated || values.any { statusLine.containsMatchIn(it) }
    }
}
