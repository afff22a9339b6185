package org.guavahatch.gateway.http

/**
 * Syntax of the head of an HTTP/1 response (RFC 9112, sections 4 and 5), stricter than a decoder needs it to be.
 *
 * Each response begins with a status line, so bytes that hold a second one are the beginning of one head and the whole
 * of another, even if they can be read as one, with the status of the first and the fields of the second.
 */
internal object ResponseHeadSyntax {
    private const val VERSIONS = "HTTP/1."
    private val statusLine = Regex("HTTP/1\\.[01] [1-9][0-9]{2}(?: [^\\r\\n]*)?")
    private val startOfStatusLine = Regex("HTTP/[0-9]\\.[0-9] [0-9]{3}(?=[ \\r\\n]|$)")
    private val fieldLine = Regex("[!#$%&'*+.^_`|~0-9A-Za-z-]+[ \\t]*:[^\\r\\n]*")

    /** Whether a head may begin with [bytes], which are its first ones. */
    fun isBeginning(bytes: String): Boolean = VERSIONS.startsWith(bytes.take(VERSIONS.length))

    /** The reason why [head], one character for each byte and with its empty line, is not one head, or null. */
    fun problem(head: String): String? {
        val lines = head.trimEnd('\r', '\n').split('\n').map { it.removeSuffix("\r") }
        return when {
            !statusLine.matches(lines.first()) -> "no status line"
            startOfStatusLine.findAll(head).count() > 1 -> "two status lines"
            lines.drop(1).any { !isFieldLine(it) } -> "a line that is no header field"
            head.any { it.isForbidden() } -> "a control character"
            else -> null
        }
    }

    /** Also true for a continued line, which older endpoints send (RFC 9112, section 5.2). */
    private fun isFieldLine(line: String) = fieldLine.matches(line) || line.startsWith(' ') || line.startsWith('\t')

    private fun Char.isForbidden() = this < ' ' && this != '\t' && this != '\r' && this != '\n'
}
