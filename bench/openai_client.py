"""Checks the callers' surface with the unmodified `openai` client library.

Run: python bench/openai_client.py http://127.0.0.1:8080 caption-llm
Needs `pip install openai` and a node, such as `dalestand dev`. Not part of CI.
"""

import sys

import openai

base_url, model = sys.argv[1] + "/v1", sys.argv[2]
client = openai.OpenAI(base_url=base_url, api_key="any", max_retries=0)

print("models:", [one.id for one in client.models.list()])

whole = client.completions.create(model=model, prompt="a glass plate", max_tokens=6)
print("completion:", repr(whole.choices[0].text), whole.usage.total_tokens)

chunks = client.completions.create(
    model=model, prompt="a glass plate", max_tokens=6, stream=True
)
assert "".join(chunk.choices[0].text for chunk in chunks) == whole.choices[0].text

messages = [{"role": "user", "content": "which harbour is this?"}]
chat = client.chat.completions.create(model=model, messages=messages, max_tokens=6)
print("chat:", repr(chat.choices[0].message.content), chat.choices[0].finish_reason)

text, usage = "", None
for chunk in client.chat.completions.create(
    model=model,
    messages=messages,
    max_tokens=6,
    stream=True,
    stream_options={"include_usage": True},
):
    usage = chunk.usage or usage
    if chunk.choices:
        text += chunk.choices[0].delta.content or ""
assert text == chat.choices[0].message.content
print("chat stream:", usage.prompt_tokens, usage.completion_tokens)

stop = chat.choices[0].message.content.split()[2]
stopped = client.chat.completions.create(
    model=model, messages=messages, max_tokens=6, stop=[stop]
)
print("stop:", repr(stopped.choices[0].message.content), stopped.choices[0].finish_reason)

try:
    client.completions.create(model="nothing", prompt="x")
except openai.NotFoundError as error:
    print("unknown model:", error.status_code, error.param, error.code)
try:
    client.completions.create(model=model, prompt="x", n=3)
except openai.BadRequestError as error:
    print("n=3:", error.status_code, error.param, error.code)
print("request id:", len(whole._request_id))
