"""A client on a link of little bandwidth, with packets of Ethernet's size: it reads the answer at so many bytes a second.

Arguments: HOST:PORT PATH HOSTNAME DEADLINE_MS BYTES_PER_S REQUEST_ID. Prints one line of JSON.
"""
import hashlib, json, socket, sys, time

address, path, hostname, deadline_ms, rate, request_id = sys.argv[1:7]
host, port = address.split(":")
started = time.monotonic()
deadline = started + int(deadline_ms) / 1000
client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
client.connect((host, int(port)))
client.sendall(f"GET {path} HTTP/1.1\r\nHost: {hostname}\r\nRequest-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n\r\n".encode())
data = b""
end = "gave up"
reason = ""
client.settimeout(0.2)
while time.monotonic() < deadline:
    time.sleep(0.02)
    try:
        part = client.recv(max(1, int(rate) // 50))
    except socket.timeout:
        continue
    except OSError as error:
        end, reason = "cut", str(error)
        break
    if part == b"":
        end, reason = "cut", "end of stream"
        break
    data += part
    head, separator, body = data.partition(b"\r\n\r\n")
    if separator:
        headers = {line.split(b":", 1)[0].decode().lower(): line.split(b":", 1)[1].strip().decode() for line in head.split(b"\r\n")[1:]}
        if "content-length" in headers and len(body) >= int(headers["content-length"]):
            end = "complete"
            break
client.close()
head, separator, body = data.partition(b"\r\n\r\n")
status = int(head.split(b" ")[1]) if separator else None
headers = {line.split(b":", 1)[0].decode().lower(): line.split(b":", 1)[1].strip().decode() for line in head.split(b"\r\n")[1:]} if separator else {}
seal = headers.get("response-seal", "")
whole = seal.split(".")[1:] == [str(len(body)), hashlib.sha256(body).hexdigest()[:16]]
print(json.dumps({"id": request_id, "end": end, "reason": reason, "status": status, "bytes": len(body), "length": headers.get("content-length"), "whole": whole, "seconds": round(time.monotonic() - started, 2)}))
