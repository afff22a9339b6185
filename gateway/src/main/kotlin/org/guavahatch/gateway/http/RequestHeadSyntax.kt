package org.guavahatch.gateway.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion

/**
 * Tells the head of one request from the beginning of one and the whole of another, which a decoder can read as one
 * head, with the target of the first and the fields of the second.
 */
internal object RequestHeadSyntax {
    private const val DELETE_CHARACTER = '\u007f'
    private val versions = setOf(HttpVersion.HTTP_1_0, HttpVersion.HTTP_1_1)
    private val methods = listOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
    private val endsWithRequestLine = Regex("[A-Z]+ [^ ]+ HTTP/1\\.[01]$")

    /** The reason why the decoded [request], whose id is in the header [idHeader], may be two requests, or null. */
    fun problem(request: HttpRequest, idHeader: String): String? = when {
        request.protocolVersion() !in versions -> "another version"
        request.uri().any { it <= ' ' || it == DELETE_CHARACTER } -> "a target with a control character"
        isTwoMethods(request.method().name()) -> "two methods"
        request.headers().getAll(HttpHeaderNames.HOST).size > 1 -> "two hosts"
        request.headers().getAll(idHeader).distinct().size > 1 -> "two request ids"
        hasSecondRequestLine(request.headers()) -> "two request lines"
        else -> null
    }

    private fun isTwoMethods(name: String) = methods.any { last ->
        val beginning = name.removeSuffix(last)
        beginning != name && beginning.isNotEmpty() && methods.any { it.startsWith(beginning) }
    }

    /** Each request has a host, so a request line in a value begins a request only if a host follows it. */
    private fun hasSecondRequestLine(headers: HttpHeaders): Boolean {
        val fields = headers.entries()
        val line = fields.indexOfFirst { endsWithRequestLine.containsMatchIn(it.value) }
        return line >= 0 && fields.drop(line + 1).any { HttpHeaderNames.HOST.contentEqualsIgnoreCase(it.key) }
    }
}
