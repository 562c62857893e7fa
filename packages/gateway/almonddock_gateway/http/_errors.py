"""Reports errors that parsers raise from their callbacks."""

import asyncio


def report_error(message: str, fault: Exception) -> None:
    """Passes an unexpected error to the exception handler of the loop."""
    asyncio.get_running_loop().call_exception_handler(
        {'message': message, 'exception': fault.__context__ or fault},
    )
