// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Optional;
import ottergauge.protocol.BodyLimits;
import ottergauge.protocol.Paths;
import ottergauge.protocol.ProtocolException;
import ottergauge.protocol.RequestFields;

/** Checks the heads of clients' requests. */
final class RequestHeads {

    private RequestHeads() {}

    /** Throws if the head is malformed or its framing ambiguous. */
    static void checkFraming(HttpRequest request) throws InvalidRequestHeadException {
        Optional<String> fault = HttpFraming.fault(request);
        if (fault.isPresent()) {
            throw new InvalidRequestHeadException(status(request), fault.get());
        }
    }

    private static HttpResponseStatus status(HttpRequest request) {
        Throwable cause = request.decoderResult().cause();
        if (cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return cause == null && !HttpVersion.HTTP_1_1.equals(request.protocolVersion())
                ? HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED
                : HttpResponseStatus.BAD_REQUEST;
    }

    /** Whether the request is a health check, which the node answers itself. */
    static boolean isHealthCheck(HttpRequest request) {
        return HttpMethod.GET.equals(request.method())
                && (Paths.READY.equals(request.uri()) || Paths.LIVE.equals(request.uri()));
    }

    /** Reads the fields of a request that is to be forwarded; throws if that is not possible. */
    static RequestFields fields(HttpRequest request) throws InvalidRequestHeadException {
        RequestFields fields;
        try {
            fields = readFields(request);
        } catch (ProtocolException e) {
            throw new InvalidRequestHeadException(HttpResponseStatus.BAD_REQUEST, e.getMessage());
        }
        HttpMethod method = request.method();
        if (!HttpMethod.GET.equals(method) && !HttpMethod.POST.equals(method)) {
            throw new InvalidRequestHeadException(
                    HttpResponseStatus.METHOD_NOT_ALLOWED, method.name());
        }
        // The request is rejected before its body is read: reading the body would delay other
        // clients.
        if (HttpUtil.getContentLength(request, 0L) > BodyLimits.MAX_STREAMED_BYTES) {
            throw new InvalidRequestHeadException(
                    HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
        }
        return fields;
    }

    private static RequestFields readFields(HttpRequest request) throws ProtocolException {
        for (String name : RequestFields.NAMES) {
            if (request.headers().getAll(name).size() > 1) {
                throw new ProtocolException("more than one " + name);
            }
        }
        RequestFields fields = RequestFields.read(name -> request.headers().get(name));
        if (!RequestFields.isVisible(request.uri())) {
            throw new ProtocolException("the path holds other than visible characters");
        }
        return fields;
    }
}
